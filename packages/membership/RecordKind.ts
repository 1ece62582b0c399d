/** Kind of process that a directory record describes. */
export enum RecordKind {
  Target = "target",
  Entry = "entry",
}
