/** Body of an error frame. */
export interface RemoteErrorBody {
  readonly code: string;
  readonly message: string;
  readonly detail?: unknown;
}
