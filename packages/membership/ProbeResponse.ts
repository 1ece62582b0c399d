/** Response to `probe`. */
export interface ProbeResponse {
  readonly reached: boolean;
  /** Failure domain of the relay that made the attempt. */
  readonly failureDomain: string;
}
