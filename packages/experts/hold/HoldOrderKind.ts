/** Orders by which a map is activated on a group that pauses at a step barrier. */
export enum HoldOrderKind {
  Prepare = "prepare",
  Hold = "hold",
  Arm = "arm",
  Disarm = "disarm",
  Go = "go",
}
