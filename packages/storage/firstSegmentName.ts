/** Name of the log segment of a replica without a snapshot. */
export const firstSegmentName = "log-1";
