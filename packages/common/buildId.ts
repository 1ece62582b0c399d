/** Set by the bundler; tests run without it. */
declare const BUILD_ID: string | undefined;

/** Hash of the sources of this build, so that logs and metrics tell an old bundle from a new one. */
export const buildId = typeof BUILD_ID === "string" ? BUILD_ID : "unknown";
