/** Body of `fetchEntries`. Without `since`, the response is the plain list of announcements. */
export interface FetchEntriesRequest {
  /** `directory` and `version` of the previous response; null in the first request. */
  readonly since?: { readonly directory: string; readonly version: number } | null;
}
