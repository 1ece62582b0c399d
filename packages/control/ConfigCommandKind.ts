/** Kinds of commands of the `config` group's log. */
export enum ConfigCommandKind {
  Propose = "propose",
  ExpireException = "expire_exception",
  GroupLease = "group_lease",
  DecideMap = "decide_map",
}
