//! Events of entries and agents of leased runs.

use std::time::Duration;

use crate::declaration::events;

events! {
    /// Events of entries and agents of leased runs.
    pub enum RunsEvent<'a> {
        7001 RoutesInForce "routes_in_force" Info "route table in force" {
            version: u64 = "Version of the route table.",
            routes: u64 = "Number of routes.",
        }
            meaning: "This entry now uses this version of the route table.",
            remedy: "None.";
        7002 DocumentUnreadable "document_unreadable" Error "document cannot be used" {
            version: u64 = "Version of the document.",
            error: &'a str = "Error in the document.",
        }
            meaning: "Control accepted a document that is invalid for this entry; the previous one stays in force.",
            remedy: "Upgrade the entry, or submit a corrected document with a higher version.";
        7003 RouteMissing "route_missing" Info "no route matches the request" {
            host: &'a str = "Host of the request.",
            path: &'a str = "Path of the request up to the id of the job.",
            version: u64 = "Version of the route table that was used.",
            in_force: Duration = "Time since that version came into force at this entry.",
        }
            meaning: "The caller received the answer that the queue does not exist.",
            remedy: "If the route was added, compare the version with event 6025 of control: the entry may not have it yet.";
        7004 DocumentReceived "document_received" Info "document received from control" {
            version: u64 = "Version of the document.",
            bytes: u64 = "Size of the document.",
            behind: Duration = "Time since the oldest version that it supersedes, or this one, was announced to this entry.",
        }
            meaning: "The entry has fetched the document, and puts it in force unless event 7002 follows.",
            remedy: "If it is far behind, check the link of the entry and compare the time with event 6025 of control.";
        7005 EntryPaused "entry_paused" Warn "process was paused or cut off" {
            paused: Duration = "Time in which nothing reached the process.",
        }
            meaning: "The process did not run or was cut off; it places no tasks for 100 ms, and refuses what may have waited for too long.",
            remedy: "If it persists, check the machine of the entry and its network.";
        7006 EntryBehind "entry_behind" Warn "process is behind with its messages" {
            delay: Duration = "Time by which the latest attempts took longer than their runs.",
            jobs: u64 = "Jobs in progress.",
            waiting: u64 = "Jobs that are waiting for capacity at this entry.",
        }
            meaning: "Orders leave late and reports are read late; submissions that would miss their objective for that are refused.",
            remedy: "Give the entry more processor time or bandwidth, or spread the callers over more entries.";
        7007 EntryCaughtUp "entry_caught_up" Info "process has caught up with its messages" {
            lasted: Duration = "Time since event 7006.",
        }
            meaning: "Orders leave and reports are read in time again.",
            remedy: "None.";
        7010 JobTaken "job_taken" Info "job accepted" {
            job: &'a str = "Id of the job.",
            route: &'a str = "Route of the request.",
            version: u64 = "Version of the route table that was used.",
            tasks: u64 = "Number of tasks.",
            objective: Duration = "Time until the latency objective.",
            waiting: u64 = "Jobs that are waiting for capacity at this entry.",
        }
            meaning: "A submission was accepted; its tasks are placed as soon as workers have capacity.",
            remedy: "None.";
        7011 JobRefused "job_not_taken" Info "job refused" {
            job: &'a str = "Id of the job.",
            reason: &'a str = "Reason: `overloaded`, `draining`, `no_routes`, `unsupported`, `malformed`, `too_many_tasks`, `never_fits`, `too_many`, `behind`, `silence` or `evacuated`.",
            waited: Duration = "Time that the job waited, zero if it was refused at once.",
            waiting: u64 = "Jobs that are waiting for capacity at this entry.",
        }
            meaning: "The caller received the answer that the job did not run; none of its tasks was dispatched.",
            remedy: "For `overloaded`, add workers or reduce the request rate of the callers; otherwise, see the reason.";
        7012 JobEnded "job_ended" Info "job ended" {
            job: &'a str = "Id of the job.",
            end: &'a str = "How it ended: `completed`, `failed`, `cancelled` or `timed_out`.",
            took: Duration = "Time since the job was accepted.",
            waited: Duration = "Time until its first task was dispatched.",
            attempts: u64 = "Attempts at its tasks.",
            on_time: bool = "Whether it completed within its latency objective.",
        }
            meaning: "The job was answered; its remaining attempts are stopped.",
            remedy: "For a late or failed job, look for its id in events 7013 to 7015 of the entry and 7030 to 7033 of agents.";
        7013 AttemptEnded "attempt_ended" Info "attempt ended without completing" {
            task: &'a str = "Job, step and index of the task.",
            attempt: u64 = "Number of the attempt.",
            agent: &'a str = "Agent of the worker.",
            end: &'a str = "How it ended: `failed`, `stopped`, `lost` or `not_started`.",
            ran: Duration = "Time that it ran.",
        }
            meaning: "The attempt has certainly ended; the task is placed again unless its job has ended.",
            remedy: "Look at the events of the named agent.";
        7014 AttemptOverdue "attempt_overdue" Info "attempt stopped as overdue" {
            task: &'a str = "Job, step and index of the task.",
            attempt: u64 = "Number of the attempt.",
            agent: &'a str = "Agent of the worker.",
            elapsed: Duration = "Time since it was dispatched.",
        }
            meaning: "The attempt lasted far longer than expected on that worker, and the task can still be completed on another worker.",
            remedy: "If the same agent is named repeatedly, check its worker.";
        7015 AgentLapsed "agent_lapsed" Warn "leases of an unresponsive agent expired" {
            agent: &'a str = "The agent.",
            silent: Duration = "Time since its last heartbeat.",
            attempts: u64 = "Attempts that have ended as a result.",
        }
            meaning: "The agent did not respond for longer than any run can continue without it, so its tasks are placed again.",
            remedy: "Check the agent, its machine and the network.";
        7016 AgentJoined "agent_joined" Info "worker joined" {
            agent: &'a str = "The agent.",
            pool: &'a str = "Pool of its worker.",
            claimed: u64 = "Attempts whose state the agent was asked to report.",
        }
            meaning: "Tasks can be placed on the worker of this agent.",
            remedy: "None.";
        7017 AgentLost "agent_lost" Info "link to an agent closed" {
            agent: &'a str = "The agent.",
            outstanding: u64 = "Attempts that are not known to have ended.",
        }
            meaning: "No tasks are placed there until the agent has reconnected; its attempts may continue.",
            remedy: "If it persists, check the agent and the network.";
        7018 LossCounted "loss_counted" Info "worker lost under a task" {
            task: &'a str = "Job, step and index of the task.",
            agent: &'a str = "Agent of the worker.",
            worker: &'a str = "The worker.",
            confirmed: u64 = "Workers that have certainly crashed under the task so far.",
            possible: u64 = "Workers lost under the task so far for an unknown cause, which may have been crashes.",
        }
            meaning: "The task was on a worker that was lost. The entry counts such losses for 30 s, over all submissions of the job.",
            remedy: "None if it is rare; otherwise look for the worker in events 7023, 7024 and 7028 of the agent.";
        7019 JobGivenUp "job_given_up" Warn "job given up because its workers were lost" {
            task: &'a str = "Job, step and index of the task that lost its workers.",
            confirmed: u64 = "Workers that have certainly crashed under the task.",
            possible: u64 = "Workers lost under the task for an unknown cause, which may have been crashes.",
            ordered: bool = "Whether this submission was in progress; otherwise it was answered on arrival.",
        }
            meaning: "The job is answered as failed, and no task of it is started again, because the task probably crashes its workers.",
            remedy: "Search for the task in events 7018 of all entries, which name the agents, and examine the job's input.";
        7020 EntryDiscovered "entry_discovered" Info "entry discovered" {
            address: &'a str = "Address of the entry.",
        }
            meaning: "Control reported an entry, which this agent now dials.",
            remedy: "None.";
        7021 WorkerJoined "worker_joined" Info "worker announced itself" {
            worker: &'a str = "The worker.",
            pool: &'a str = "Its pool.",
            cpu_millis: u64 = "Its capacity in thousandths of a core.",
            started_ms: u64 = "Start of this incarnation, in milliseconds since the Unix epoch.",
        }
            meaning: "A new incarnation of the worker accepts tasks.",
            remedy: "None.";
        7022 WorkerLeaving "worker_leaving" Info "worker is leaving" {
            worker: &'a str = "The worker.",
            running: u64 = "Tasks that are still running.",
        }
            meaning: "The worker accepts no new tasks and finishes its running tasks.",
            remedy: "None.";
        7023 WorkerGone "worker_gone" Info "worker left or was replaced" {
            worker: &'a str = "The worker.",
            lost: u64 = "Runs that ended with it.",
            reason: &'a str = "`withdrawn`, or `renamed` if another worker announced itself.",
        }
            meaning: "The worker left or was replaced by another incarnation.",
            remedy: "None if it was stopped intentionally; otherwise check the worker.";
        7024 WorkerSilent "worker_silent" Warn "worker does not answer" {
            worker: &'a str = "The worker.",
            silent: Duration = "Time since its last reply.",
        }
            meaning: "Requests to the worker fail; entries place no tasks there until it answers.",
            remedy: "Check the worker.";
        7025 WorkerAnswers "worker_answers" Info "worker answers again" {
            worker: &'a str = "The worker.",
        }
            meaning: "Entries may place tasks there again.",
            remedy: "None.";
        7026 EntryLapsed "entry_lapsed" Warn "lease of an entry expired" {
            entry: u64 = "Incarnation of the entry.",
            runs: u64 = "Runs that are stopped.",
        }
            meaning: "The entry has not acknowledged a heartbeat in time, so its runs are stopped.",
            remedy: "Check the entry and the network.";
        7027 WorkerRestarted "worker_restarted" Warn "worker restarted under its name" {
            worker: &'a str = "The worker.",
            unresolved: u64 = "Runs that end unless the new incarnation lists them.",
            unannounced: bool = "Whether a reply showed the restart before an announcement did.",
        }
            meaning: "The worker ended without a withdrawal, and a new incarnation answers under the same name.",
            remedy: "If it persists, check the worker; event 7032 names the runs that were lost.";
        7028 WorkerLost "worker_lost" Warn "worker lost with tasks on it" {
            worker: &'a str = "The worker.",
            confirmed: bool = "Whether it has certainly crashed; otherwise its lease expired while it did not answer.",
            count: u64 = "Number of tasks that were on it.",
            tasks: &'a str = "Job, step and index of the first 20 tasks, separated by spaces.",
        }
            meaning: "All entries are told that the worker was lost under these tasks; one of them may have caused it.",
            remedy: "If one task is named for several workers, examine the input of its job; otherwise check the worker.";
        7029 AnnouncementRejected "announcement_rejected" Warn "announcement of another worker rejected" {
            worker: &'a str = "Name in the announcement.",
            pool: &'a str = "Pool in the announcement.",
            reason: &'a str = "Reason for the rejection.",
        }
            meaning: "The announcement names another worker than the one in use, and that worker does not answer at its address; nothing changes.",
            remedy: "None if it is rare; otherwise find the process that sends heartbeats to this agent under the name.";
        7030 StartRefused "start_refused" Info "start refused" {
            task: &'a str = "Job, step and index of the task.",
            attempt: u64 = "Number of the attempt.",
            reason: &'a str = "Reason for the refusal.",
        }
            meaning: "The task was not started; the agent retries or reports the attempt as not started.",
            remedy: "None if it is rare.";
        7031 StartUnanswered "start_unanswered" Info "start request was not answered" {
            task: &'a str = "Job, step and index of the task.",
            attempt: u64 = "Number of the attempt.",
            run: u64 = "Number of the run.",
        }
            meaning: "The worker may have started the task; the agent stops the run before the task is placed again.",
            remedy: "If it persists, check the worker.";
        7032 RunEnded "run_ended" Info "run ended without completing" {
            task: &'a str = "Job, step and index of the task.",
            attempt: u64 = "Number of the attempt.",
            end: &'a str = "How it ended: `failed`, `stopped`, `lost` or `not_started`.",
            ran: Duration = "Time that it ran.",
            run: u64 = "Number of the run.",
            worker: &'a str = "The worker.",
            evidence: &'a str = "What proves the end: `listed`, `unlisted`, `not_ordered`, `rejected`, `lease`, `renamed` or `withdrawal`.",
        }
            meaning: "The run has certainly ended and is reported to its entry.",
            remedy: "None if it is rare.";
        7033 OrphanStopped "orphan_stopped" Info "unclaimed run stopped" {
            task: &'a str = "Job, step and index of the task.",
            run: u64 = "Number of the run.",
        }
            meaning: "A previous process of the agent started the run and no entry claimed it.",
            remedy: "None.";
        7034 EvacuationsInForce "evacuations_in_force" Info "evacuations in force" {
            revision: u64 = "Revision of the evacuations.",
            domains: &'a str = "Evacuated failure domains.",
            evacuated: &'a str = "Domains that were not evacuated before.",
            returned: &'a str = "Domains that were evacuated before; entries use them in full after 2 s.",
            refused: u64 = "Jobs (entry) or queued tasks (agent) that were refused as not started for that.",
            age: Duration = "Time for which the state has been in force at the control process that sent it.",
        }
            meaning: "This entry places nothing in the evacuated domains, or this agent starts nothing if its worker is in one.",
            remedy: "If the revision is lower than in event 6026 of control, check the links of the process to control.";
        7050 JobShed "job_shed" Info "job shed, as demand exceeds capacity" {
            job: &'a str = "Id of the job.",
            route: &'a str = "Route of the request.",
            priority: u64 = "Priority as which the job counts.",
            admitted_permille: u64 = "Jobs of the priority that are admitted, of 1,000.",
            demand: u64 = "Work of the submissions of a second at all entries, in thousandths of a core-second.",
            capacity: u64 = "Capacity of the usable workers, in thousandths of a core.",
            age: Duration = "Age of the demand when the decision was made.",
        }
            meaning: "The job was refused on arrival, so that more urgent ones and the admitted ones of its priority are served in time. Event 7011 follows.",
            remedy: "Add workers, or reduce the request rate of the callers of this priority.";
        7060 InterferenceAvoided "interference_avoided" Info "tasks placed away from interference" {
            job: &'a str = "Id of the job.",
            tasks: u64 = "Tasks of the job that were placed on another worker for it.",
            agent: &'a str = "Agent of the worker that the first of them would have been placed on.",
            slowed: &'a str = "Kind of task that is slowed down: its image, or its route.",
            beside: &'a str = "Kind of task that slows it down.",
            slowdown_permille: u64 = "Factor on the run time of the slowed kind, in thousandths.",
            runs: u64 = "Recent runs that show it, at all agents.",
            age: Duration = "Time since the latest of these runs.",
        }
            meaning: "The entry placed tasks apart from others because run times show that their kinds slow each other down.",
            remedy: "None; if it is frequent, find out why the named kinds slow each other down.";
    }
}
