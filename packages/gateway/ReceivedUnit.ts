/** In what the responses of targets are counted as they arrive. */
export enum ReceivedUnit {
  /** Bytes of bodies, without framing. */
  Bytes = "bytes",
  /** Parts in which the parser delivers a body: a chunk, or what one read of the connection brought of it. */
  Pieces = "pieces",
}
