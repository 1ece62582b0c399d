/** Orders by which a map comes into force. */
export enum HoldOrderKind {
  Prepare = "prepare",
  Hold = "hold",
  Arm = "arm",
  Disarm = "disarm",
  Go = "go",
}
