/** Questionnaires and the configuration generated from them. */
package org.plantainloom.coordination.config;
