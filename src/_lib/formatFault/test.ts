import { formatFault } from "./index";

describe("formatFault", () => {
    it("names the path before the message", () => {
        expect(formatFault({ path: "$.port", message: "too big" })).toBe("$.port: too big");
    });
});
