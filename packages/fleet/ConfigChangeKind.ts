/** Kinds of changes that operators make. */
export enum ConfigChangeKind {
  SetDefaults = "set_defaults",
  AddException = "add_exception",
  RemoveException = "remove_exception",
  DrainTarget = "drain_target",
  UndrainTarget = "undrain_target",
}
