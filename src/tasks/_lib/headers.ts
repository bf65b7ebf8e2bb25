/** Header names and the rules for forwarding headers. */

export const actionHeader = "pomelovalve-action";
export const callHeader = "pomelovalve-call";
export const callerHeader = "pomelovalve-caller";
export const deadlineHeader = "pomelovalve-deadline";
export const retriesHeader = "pomelovalve-retries";
export const unusedRetriesHeader = "pomelovalve-retries-unused";
export const importanceHeader = "pomelovalve-importance";
export const outcomeHeader = "pomelovalve-outcome";
export const loadHeader = "pomelovalve-load";
export const depthHeader = "pomelovalve-depth";
export const nestedCallRefusedHeader = "pomelovalve-refused-below";
export const nodeHeader = "pomelovalve-node";
export const leavingHeader = "pomelovalve-leaving";

const ownPrefix = "pomelovalve-";

const hopByHop: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/** Lists the header names that the Connection header declares as hop-by-hop. */
const listConnectionNames = (rawHeaders: readonly string[]): ReadonlySet<string> | undefined => {
    const value = findHeader(rawHeaders, "connection");
    if (value === undefined || value === "keep-alive" || value === "close") {
        return undefined;
    }
    return new Set(value.split(",").map(name => name.trim().toLowerCase()));
};

/** Finds the first value of a header in a flat list of names and values; the name must be in lower case. */
export const findHeader = (rawHeaders: readonly string[], name: string): string | undefined => {
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const candidate = rawHeaders[index]!;
        if (candidate.length === name.length && candidate.toLowerCase() === name) {
            return rawHeaders[index + 1];
        }
    }
    return undefined;
};

/** Removes hop-by-hop headers, this system's own headers, and those in `removedNames`. */
export const stripHeaders = (rawHeaders: readonly string[], removedNames: ReadonlySet<string>): string[] => {
    const connectionNames = listConnectionNames(rawHeaders);
    const kept: string[] = [];
    for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]!.toLowerCase();
        const isRemoved = hopByHop.has(name) || name.startsWith(ownPrefix) || removedNames.has(name)
            || connectionNames?.has(name);
        if (!isRemoved) {
            kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
        }
    }
    return kept;
};

/** Request headers that are not forwarded as received, because each hop sets its own. */
export const replacedRequestHeaders: ReadonlySet<string> = new Set(["host", "expect", "content-length"]);

/** The same for a hop between nodes, which forwards the Host header. */
export const relayReplacedRequestHeaders: ReadonlySet<string> = new Set(["expect", "content-length"]);

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/** Whether an answer never has a body, by its method or status. */
export const isBodiless = (method: string, status: number): boolean =>
    method === "HEAD" || statusesWithoutBody.has(status);

/** Empty set, for `stripHeaders` without additional names. */
export const noHeaders: ReadonlySet<string> = new Set();
