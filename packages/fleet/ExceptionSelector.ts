/** Selects the requests or groups that an exception applies to. Every field that is set must match. */
export interface ExceptionSelector {
  readonly team?: string | undefined;
  readonly model?: string | undefined;
  readonly service?: string | undefined;
  readonly group?: string | undefined;
  readonly region?: string | undefined;
}
