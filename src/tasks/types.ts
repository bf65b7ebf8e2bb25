/** Types of calls that pass through a node. */
import { type RoutePolicy, type ServicePolicy } from "../policy/types";
import { type Importance } from "../types";

/** A call that a node serves or forwards. */
export interface Call {
    /** Identifier of this call within its node; the upstream sends it with the nested calls that it makes. */
    readonly id: string;
    /** Identifier of the user action that the call belongs to. */
    readonly action: string;
    /** Identity of the caller that started the action. */
    readonly caller: string;
    readonly importance: Importance;
    /** Monotonic time by which the call has to be answered, in milliseconds. */
    readonly deadlineAtMs: number;
    /** Number of calls above this one in the call tree of the action; 0 for a direct call. */
    readonly depth: number;
    /** Number of retries that were granted with the call. */
    readonly retryAllowance: number;
}

/** The route of the policy in force that matches a request. */
export interface RouteMatch {
    readonly service: string;
    readonly servicePolicy: ServicePolicy;
    readonly route: RoutePolicy;
}
