/** First element of a frame. */
export enum FrameKind {
  Request = 0,
  Response = 1,
  Error = 2,
  Notify = 3,
}
