import { RemoteError } from "@clementinemux/wire/RemoteError";
import type { ControlErrorCode } from "./ControlErrorCode";

/** Error that a control process returns to its caller. */
export class ControlError extends RemoteError {
  declare readonly code: ControlErrorCode;

  constructor(code: ControlErrorCode, message: string, detail?: unknown) {
    super(code, message, detail);
    this.name = "ControlError";
  }
}
