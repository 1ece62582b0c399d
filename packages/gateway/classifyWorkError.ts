import { WorkError } from "./WorkError";

const maxRatio = 2;

export function classifyWorkError(expectedMs: number, actualMs: number): WorkError {
  if (actualMs * maxRatio < expectedMs) {
    return WorkError.Overestimated;
  }
  return actualMs > expectedMs * maxRatio ? WorkError.Underestimated : WorkError.Close;
}
