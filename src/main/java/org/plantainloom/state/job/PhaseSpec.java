package org.plantainloom.state.job;

import java.util.List;
import org.plantainloom.state.ResourceVector;

/**
 * A phase of a job: equal tasks that may run once the phases before it are done.
 *
 * @param count number of tasks
 * @param need what each task reserves on its worker
 * @param estimateMs declared run time of a task in milliseconds; often far off
 * @param after indexes of the phases that must be done first
 * @param checkpointing whether a stopped task can resume from its last checkpoint
 * @param gang whether all tasks must run at the same time and end together
 * @param sameRack whether the tasks run slower when spread over several racks
 * @param requiredLabel label that the worker must have; empty for none
 * @param preferredRack rack that holds the data; empty for none
 * @param maxPerWorker most tasks of this phase on one worker; 0 for no limit
 * @param speculative whether a second copy of a task may run
 * @param lasting whether the tasks serve until the job is cancelled
 * @param image name of what the tasks run; tasks of one image behave alike
 * @param tailObjectiveMs tail latency that a lasting task must stay below; 0 for none
 * @param fillsIdleCpu whether the tasks use only processor time that others leave idle
 * @param maxUnavailable how many lasting tasks the scheduler may make unavailable at once; -1 for
 *     no promise
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
