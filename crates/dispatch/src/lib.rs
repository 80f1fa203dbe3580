//! Entry core: jobs, their queues, dispatches and answers.
