/** Response to a non-repeatable request, stored to be returned to retries. */
export interface RecordedResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}
