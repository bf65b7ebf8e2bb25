/** Reads a body as UTF-8 text; rejects if it is longer than `maxBytes`. */
export const readLimitedText = async (body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<string> => {
    const chunks: Uint8Array[] = [];
    let length = 0;
    for await (const chunk of body) {
        length += chunk.length;
        if (length > maxBytes) {
            throw new Error(`the body is longer than ${maxBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
};
