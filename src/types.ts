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

/** A moment on both clocks of this process. */
export interface Instant {
    readonly monotonicMs: number;
    /** Milliseconds since 1970. */
    readonly wallMs: number;
}

/** A fault found in an input. */
export interface Fault {
    /** JSON path within the input, "$" for its root. */
    readonly path: string;
    /** Description of the fault, usually with the expected and the found value. */
    readonly message: string;
}

/** Result of checking an input: the checked value, or all faults found. */
export type Checked<Value> =
    | { readonly ok: true; readonly value: Value; }
    | { readonly ok: false; readonly faults: readonly Fault[]; };

/** State of an instance in the platform's list; a leaving instance is shutting down. */
export type InstanceState = "live" | "leaving";

/** An instance in the platform's list, which lags behind the actual state of the instances. */
export interface Instance {
    /** Name of the endpoint that the instance serves; a replacement of the instance serves the same endpoint. */
    readonly endpoint: string;
    readonly service: string;
    readonly failureDomain: string;
    /** Address at which the instance's node listens for calls from other nodes. */
    readonly peer: Address;
    /** Address at which the instance's node listens for control requests. */
    readonly control: Address;
    readonly state: InstanceState;
}
