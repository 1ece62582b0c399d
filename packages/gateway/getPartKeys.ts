import { hashString } from "@clementinemux/common/hashString";
import type { CallerRequest } from "./CallerRequest";

/** Keys of the shared parts of a prompt: a part may crash the targets of one service, or with one model, only. */
export function getPartKeys(
  { model, sharedParts }: Pick<CallerRequest, "model" | "sharedParts">,
  service: string,
): string[] {
  const scope = hashString(`${service} ${model ?? ""}`).toString(36);
  return [...new Set(sharedParts)].map((part) => `${scope}/${part}`);
}
