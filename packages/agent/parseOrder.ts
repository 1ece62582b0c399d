import { Just, Nothing } from "purify-ts/Maybe";
import type { Maybe } from "purify-ts/Maybe";
import type { OrderRequest } from "./OrderRequest";

/** Parses the body of an order request. */
export function parseOrder(text: string): Maybe<OrderRequest> {
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    return Nothing;
  }
  if (typeof body !== "object" || body === null) {
    return Nothing;
  }
  const { epoch, stamp, order } = body as Partial<Record<string, unknown>>;
  const isValid =
    typeof epoch === "number" && Number.isSafeInteger(epoch) && epoch >= 0 && typeof stamp === "string";
  return isValid && order !== undefined ? Just({ epoch, stamp, order }) : Nothing;
}
