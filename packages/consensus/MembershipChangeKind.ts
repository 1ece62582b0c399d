/** Kinds of membership changes. */
export enum MembershipChangeKind {
  AddLearner = "add_learner",
  Promote = "promote",
  Remove = "remove",
}
