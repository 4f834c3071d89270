/** Questionnaire, its checks, and the configuration generated from it. */
package org.plantainloom.coordination.config;
