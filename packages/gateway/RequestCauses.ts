/** What may make a request crash its targets: the request itself, and the shared parts of its prompt. */
export interface RequestCauses {
  /** As `getRequestKey` defines it. */
  readonly request: string;
  /** As `getPartKeys` defines them. */
  readonly parts: readonly string[];
}
