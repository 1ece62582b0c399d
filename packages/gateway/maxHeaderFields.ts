/** Most header fields of a request. Node would drop those beyond its limit without a word. */
export const maxHeaderFields = 8192;
