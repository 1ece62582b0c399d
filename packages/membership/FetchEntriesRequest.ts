/** Body of `fetchEntries`. Without `since`, the answer is the plain list of announcements. */
export interface FetchEntriesRequest {
  /** `directory` and `version` of the previous answer; null for the first question. */
  readonly since?: { readonly directory: string; readonly version: number } | null;
}
