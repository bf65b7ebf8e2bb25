/** Types of calls on their way through a node. */
import { type RoutePolicy, type ServicePolicy } from "../policy/types";
import { type Importance } from "../types";

/** A call that a node serves or forwards. */
export interface Call {
    /** Identity of this call within its node; the upstream hands it back on the calls that it makes. */
    readonly id: string;
    /** Identity of the user action that the call is part of. */
    readonly action: string;
    /** Identity of the caller that began the action. */
    readonly caller: string;
    readonly importance: Importance;
    /** Monotonic time by which the call must be answered, in milliseconds. */
    readonly deadlineAtMs: number;
    /** Calls between the entry of the action and this one. */
    readonly depth: number;
    /** Retries that came with the call. */
    readonly retryAllowance: number;
}

/** A route of the policy in force, as found for a request. */
export interface RouteMatch {
    readonly service: string;
    readonly servicePolicy: ServicePolicy;
    readonly route: RoutePolicy;
}
