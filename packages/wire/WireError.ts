import type { WireErrorCode } from "./WireErrorCode";

/** Failed call or connection between two processes. For `remote`, `detail` describes the peer's error. */
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
