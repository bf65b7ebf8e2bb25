/** Types that several parts of the system share. */

/** What became of a request, as told to its caller. */
export type Outcome = "completed" | "not-run" | "may-have-run" | "failed";

/** How important a request is; the least important is refused first. */
export type Importance = "critical" | "normal" | "low";

/** Address of a listener: IP number and port. */
export interface Address {
    readonly host: string;
    readonly port: number;
}

/** One fault of an input: where it is, what was found and what was expected. */
export interface Fault {
    /** JSON path within the input, "$" for its root. */
    readonly path: string;
    readonly message: string;
}

/** Result of an operation that may be refused for stated reasons. */
export type Checked<Value> =
    | { readonly ok: true; readonly value: Value; }
    | { readonly ok: false; readonly faults: readonly Fault[]; };

/** State of an instance in the platform's list. */
export type InstanceState = "live" | "leaving";

/** One entry of the platform's lagging list of instances. */
export interface Instance {
    /** Name of the endpoint that the instance fills; it outlives the instance. */
    readonly endpoint: string;
    readonly service: string;
    readonly failureDomain: string;
    /** Listener of the instance's node for calls from other nodes. */
    readonly peer: Address;
    /** Listener of the instance's node for control. */
    readonly control: Address;
    readonly state: InstanceState;
}
