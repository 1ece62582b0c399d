import type { RequestClass } from "@clementinemux/common/RequestClass";

/** How a request is treated, from the defaults and the listed exceptions. */
export interface Treatment {
  readonly requestClass: RequestClass;
  readonly deadlineMs: number;
}
