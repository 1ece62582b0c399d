/** Kinds of commands in the log of the `config` group. */
export enum ConfigCommandKind {
  Propose = "propose",
  ExpireException = "expire_exception",
  GroupLease = "group_lease",
  DecideMap = "decide_map",
}
