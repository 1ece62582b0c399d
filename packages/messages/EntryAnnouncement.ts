/** What an entry announces about itself; the source of `/v1/addresses`. */
export interface EntryAnnouncement {
  readonly entry: string;
  readonly incarnation: string;
  /** URL that callers connect to. */
  readonly url: string;
  readonly failureDomain: string;
  readonly region: string;
  /** A leaving entry is no longer listed for callers. */
  readonly leaving: boolean;
}
