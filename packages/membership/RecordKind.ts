/** What a directory record describes. */
export enum RecordKind {
  Target = "target",
  Entry = "entry",
}
