/** How a request left the queue of its service. */
export enum QueueEnd {
  Admitted = "admitted",
  /** No slot was likely to become free in time when the request arrived. */
  RejectedOnArrival = "rejected_on_arrival",
  RejectedAfterWaiting = "rejected_after_waiting",
  /** The caller has left, the request has timed out, or it is suspected of crashing targets. */
  Withdrawn = "withdrawn",
}
