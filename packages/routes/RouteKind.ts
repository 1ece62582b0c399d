/** What may be repeated of a route's requests. */
export enum RouteKind {
  Idempotent = "idempotent",
  NonIdempotent = "non_idempotent",
  /** A series of events; repeatable only where the route can resume. */
  Streaming = "streaming",
}
