package org.plantainloom.state.job;

import java.util.List;
import org.plantainloom.state.ResourceVector;

/**
 * A phase of a job: equal tasks that may run once the phases they depend on are done.
 *
 * @param count number of tasks
 * @param need resources that each task reserves on its worker
 * @param estimateMs declared run time of a task in milliseconds; often inaccurate
 * @param after indexes of the phases that must be done first
 * @param checkpointing whether a stopped task can resume from its last checkpoint
 * @param gang whether all tasks must run at the same time and end together
 * @param sameRack whether the tasks are slower when they are spread over several racks
 * @param requiredLabel label that the worker must have; empty for none
 * @param preferredRack rack that holds the input data; empty for none
 * @param maxPerWorker maximum number of tasks of this phase on one worker; 0 for no limit
 * @param speculative whether a second copy of a running task may be started
 * @param lasting whether the tasks run until the job is cancelled
 * @param image name of the program that the tasks run; tasks of the same image behave alike
 * @param tailObjectiveMs tail latency that a lasting task must stay below, in milliseconds; 0 for
 *     none
 * @param fillsIdleCpu whether the tasks use only CPU time that other tasks leave idle
 * @param maxUnavailable how many lasting tasks the scheduler may make unavailable at once; -1 if
 *     nothing is guaranteed
 */
public record PhaseSpec(
    int count,
    ResourceVector need,
    long estimateMs,
    List<Integer> after,
    boolean checkpointing,
    boolean gang,
    boolean sameRack,
    String requiredLabel,
    String preferredRack,
    int maxPerWorker,
    boolean speculative,
    boolean lasting,
    String image,
    long tailObjectiveMs,
    boolean fillsIdleCpu,
    int maxUnavailable) {}
