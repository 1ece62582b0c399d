import type { WireErrorCode } from "./WireErrorCode";

/** Failure of the layer that carries frames. `detail` holds the peer's error body for `remote`. */
export class WireError extends Error {
  readonly code: WireErrorCode;
  readonly detail: unknown;

  constructor(code: WireErrorCode, message: string, detail?: unknown) {
    super(message);
    this.name = "WireError";
    this.code = code;
    this.detail = detail;
  }
}
