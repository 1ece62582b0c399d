/** Kinds of orders to runners. */
export enum PlacementOrderKind {
  Load = "load",
  Unload = "unload",
  SetRole = "set_role",
}
