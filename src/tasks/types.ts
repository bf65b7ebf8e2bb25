/** Types that describe a call as it passes through a node. */
import { type RoutePolicy, type ServicePolicy } from "../policy/types";
import { type Importance } from "../types";

/** A call that a node serves at its upstream or forwards to another node. */
export interface Call {
    /** Identifier of this call at its node; the upstream repeats it in a header of each nested call that it makes. */
    readonly id: string;
    /** Identifier of the user action that the call belongs to. */
    readonly action: string;
    /** Identity of the caller that started the action. */
    readonly caller: string;
    readonly importance: Importance;
    /** Deadline of the answer as a monotonic time, in milliseconds. */
    readonly deadlineAtMs: number;
    /** Depth in the call tree of the action: 0 for a direct call, 1 for a call nested in it, and so on. */
    readonly depth: number;
    /** Number of retries that the call may use, including those of its nested calls. */
    readonly retryAllowance: number;
}

/** Route of the policy in force that matches a request, with its service. */
export interface RouteMatch {
    readonly service: string;
    readonly servicePolicy: ServicePolicy;
    readonly route: RoutePolicy;
}
