/** Whether the requests of a route may be retried. */
export enum RouteKind {
  Idempotent = "idempotent",
  NonIdempotent = "non_idempotent",
  /** Responds with a stream of events; may be retried only if the route can resume. */
  Streaming = "streaming",
}
