/** Types that several modules share. */

/** Outcome of a request, as reported to its caller. */
export type Outcome = "completed" | "not-run" | "may-have-run" | "failed";

/** Importance of a request; less important requests are refused first. */
export type Importance = "critical" | "normal" | "low";

/** Address of a listener: IP address and port. */
export interface Address {
    readonly host: string;
    readonly port: number;
}

/** One fault of an input. */
export interface Fault {
    /** JSON path within the input, "$" for its root. */
    readonly path: string;
    /** What was found, and what was expected. */
    readonly message: string;
}

/** Result of checking an input: its value, or all faults found. */
export type Checked<Value> =
    | { readonly ok: true; readonly value: Value; }
    | { readonly ok: false; readonly faults: readonly Fault[]; };

/** State of an instance in the platform's list. */
export type InstanceState = "live" | "leaving";

/** One entry of the platform's list of instances, which lags behind their actual state. */
export interface Instance {
    /** Name of the endpoint that the instance serves; it outlives the instance. */
    readonly endpoint: string;
    readonly service: string;
    readonly failureDomain: string;
    /** Listener of the instance's node for calls from other nodes. */
    readonly peer: Address;
    /** Listener of the instance's node for control requests. */
    readonly control: Address;
    readonly state: InstanceState;
}
