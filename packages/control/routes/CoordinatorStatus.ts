/** State of a coordinator, exported as metrics. */
export interface CoordinatorStatus {
  /** Hash of the sources of the running build. */
  readonly build: string;
  readonly role: string | null;
  readonly term: number | null;
  readonly isVoter: boolean;
  readonly voters: number;
  /** Voters that the tolerated losses need. */
  readonly targetVoters: number;
  /** Whether the files of an earlier replica are set aside in the data folder. */
  readonly isReplacement: boolean;
  readonly commitIndex: number | null;
  readonly appliedIndex: number | null;
  /** Entries after the last snapshot; null until the coordinator has started. */
  readonly logEntries: number | null;
  readonly documentVersion: number;
  /** Age of the latest confirmation that no newer document exists, in ms; null when there is none. */
  readonly ageMs: number | null;
  readonly targets: number;
  readonly coldTargets: number;
  /** Ends of targets that the log holds. */
  readonly recordedEnds: number;
  readonly entries: number;
  readonly evacuationRevision: number;
  /** Failure domains that the log holds. */
  readonly recordedFailureDomains: number;
  readonly evacuatedFailureDomains: readonly string[];
}
