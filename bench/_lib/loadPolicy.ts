import { checkPolicy } from "../../src/policy/checkPolicy";
import { type Policy } from "../../src/policy/types";

/** Checks an example's policy; one with faults is an error, since experiments can't be run with it. */
export const loadPolicy = (input: unknown): Policy => {
    const checked = checkPolicy(input);
    if (!checked.ok) {
        throw new Error(`the example's policy has faults: ${JSON.stringify(checked.faults)}`);
    }
    return checked.value;
};
