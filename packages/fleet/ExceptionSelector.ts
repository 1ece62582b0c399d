/** What an exception applies to; every given field must match. */
export interface ExceptionSelector {
  readonly team?: string | undefined;
  readonly model?: string | undefined;
  readonly service?: string | undefined;
  readonly group?: string | undefined;
  readonly region?: string | undefined;
}
