/** Kinds of configuration changes. */
export enum ConfigChangeKind {
  SetDefaults = "set_defaults",
  AddException = "add_exception",
  RemoveException = "remove_exception",
  DrainTarget = "drain_target",
  UndrainTarget = "undrain_target",
}
