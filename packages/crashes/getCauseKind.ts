import { CauseKind } from "./CauseKind";
import { requestKeyPrefix } from "./requestKeyPrefix";

export function getCauseKind(key: string): CauseKind {
  return key.startsWith(requestKeyPrefix) ? CauseKind.Request : CauseKind.Part;
}
