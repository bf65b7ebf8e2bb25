import { checkPolicy } from "../../src/policy/checkPolicy";
import { type Policy } from "../../src/policy/types";

/** Checks the parsed JSON of an example policy and returns it as a policy. Throws if it is invalid. */
export const loadPolicy = (input: unknown): Policy => {
    const checked = checkPolicy(input);
    if (!checked.ok) {
        throw new Error(`invalid example policy: ${JSON.stringify(checked.faults)}`);
    }
    return checked.value;
};
