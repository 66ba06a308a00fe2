// Follows the bytes of an HTTP/1.1 connection and finds the first one that breaks the rule for heads: each line ends in CR LF, the
// head ends in an empty line, there is no other CR or LF and no NUL, start lines and header lines have their form and are not
// continued, lengths and numbers are bounded, and the body has one framing. Lines of chunked bodies fall under the same rule. The
// guard does not replace a parser: it reads only what is needed to find the next head.

export enum MessageKind {
  Request = 'request',
  Response = 'response'
}

/** What is wrong with a message. */
export enum HeadFault {
  LineEnding = 'a line does not end in CR LF',
  Nul = 'NUL in a head',
  HeadSize = 'the head is too large',
  Framing = 'ambiguous or invalid framing',
  Chunk = 'invalid chunk',
  EmptyLines = 'too many empty lines before a head',
  InformationalHeads = 'too many informational responses',
  StartLine = 'invalid start line',
  HeaderLine = 'invalid header line'
}

export interface HeadViolation {
  /** Offset in the checked bytes. */
  offset: number
  fault: HeadFault
}

export interface HeadGuard {
  /** Checks the next bytes of the connection. After a violation, the connection must not be used. */
  check: (bytes: Buffer) => HeadViolation | undefined
  /** Checks the next bytes up to the end of the current message. Returns the offset after it, or undefined if it does not end in these bytes. */
  checkMessage: (bytes: Buffer) => number | HeadViolation | undefined
  /** Whether no byte of a message has arrived since the last one ended. */
  isBetweenMessages: () => boolean
  /** Begins a new response, after the request has been written. `hasBody` is false for a response to HEAD. */
  expectResponse: (hasBody: boolean) => void
}

export interface CreateHeadGuardOptions {
  kind: MessageKind
  maximumHeadBytes: number
}

enum GuardState {
  StartLine,
  Headers,
  LengthBody,
  ChunkSize,
  ChunkData,
  ChunkEnd,
  Trailers,
  /** Bytes are not checked: a body that lasts until the connection closes, or what follows a complete response. */
  Unchecked
}

interface Framing {
  length: number | undefined
  chunked: boolean
}

const carriageReturn = 13
const lineFeed = 10
const maximumEmptyLines = 4
const maximumInformationalHeads = 16
const maximumChunkLineBytes = 4_096
/** Statuses whose responses have no body. */
const statusesWithoutBody = new Set([204, 304])
const switchingProtocols = 101
/** A request target may have any bytes but white space and control characters. */
// eslint-disable-next-line no-control-regex
const requestLine = /^[!#$%&'*+.^_`|~0-9a-z-]+ [^\x00-\x20\x7f]+ HTTP\/1\.[01]$/i
const statusLine = /^HTTP\/1\.[01] \d{3}( [\t\x20-\x7e\x80-\xff]*)?$/
const headerLine = /^[!#$%&'*+.^_`|~0-9a-z-]+:[\t\x20-\x7e\x80-\xff]*$/i

// Match a whole head at once, which most heads are. Others are read byte by byte.
// eslint-disable-next-line no-control-regex
const requestHead = /[!#$%&'*+.^_`|~0-9A-Za-z-]+ [^\x00-\x20\x7f]+ HTTP\/1\.[01]\r\n(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r\n)*\r\n/y
const responseHead = /HTTP\/1\.[01] \d{3}(?: [\t\x20-\x7e\x80-\xff]*)?\r\n(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r\n)*\r\n/y
const framingLine = /\n(?:content-length|transfer-encoding):[^\r]*/gi

// Some parsers read a body until the connection closes if a tab is next to the value.
const lengthValue = /^ *\d{1,15} *$/
const chunkedValue = /^ *chunked *$/i

/** Creates the guard of a connection that has not received any bytes. */
export function createHeadGuard ({ kind, maximumHeadBytes }: CreateHeadGuardOptions): HeadGuard {
  let state = kind === MessageKind.Request ? GuardState.StartLine : GuardState.Unchecked
  let framing: Framing = { length: undefined, chunked: false }
  let status = 0
  let isConnect = false
  let isBodyExpected = true
  let informationalHeads = 0
  let emptyLines = 0
  let headBytes = 0
  let remaining = 0
  let line = ''
  let isAfterCarriageReturn = false
  let endedMessages = 0

  const startHead = (): undefined => {
    state = GuardState.StartLine
    framing = { length: undefined, chunked: false }
    headBytes = 0
    emptyLines = 0
    line = ''
  }
  const endMessage = (): undefined => {
    endedMessages += 1
    if (kind === MessageKind.Request) startHead()
    else state = GuardState.Unchecked
  }
  const endResponseHead = (): HeadFault | undefined => {
    if (status >= 100 && status < 200 && status !== switchingProtocols) {
      informationalHeads += 1
      startHead()
      return informationalHeads > maximumInformationalHeads ? HeadFault.InformationalHeads : undefined
    }
    const hasBody = isBodyExpected && !statusesWithoutBody.has(status) && status !== switchingProtocols
    return hasBody ? startBody() : endMessage()
  }
  const startBody = (): undefined => {
    remaining = framing.length ?? 0
    headBytes = 0
    if (framing.chunked) state = GuardState.ChunkSize
    else if (remaining > 0) state = GuardState.LengthBody
    else if (framing.length === undefined && kind === MessageKind.Response) state = GuardState.Unchecked
    else endMessage()
  }
  const endHead = (): HeadFault | undefined => {
    if (framing.chunked && framing.length !== undefined) return HeadFault.Framing
    if (kind === MessageKind.Response) return endResponseHead()
    if (isConnect) state = GuardState.Unchecked
    else startBody()
    return undefined
  }

  const readFraming = (text: string): HeadFault | undefined => {
    const separator = text.indexOf(':')
    const name = text.slice(0, separator).toLowerCase()
    const value = text.slice(separator + 1)
    if (name === 'content-length') {
      if (!lengthValue.test(value) || framing.length !== undefined) return HeadFault.Framing
      framing.length = Number(value)
    }
    if (name === 'transfer-encoding') {
      if (!chunkedValue.test(value) || framing.chunked) return HeadFault.Framing
      framing.chunked = true
    }
    return undefined
  }

  const readStartLine = (text: string): void => {
    isConnect = text.startsWith('CONNECT ')
    status = Number(text.slice(9, 12))
  }

  const lineHandlers: Partial<Record<GuardState, (text: string) => HeadFault | undefined>> = {
    [GuardState.StartLine]: text => {
      if (text === '') {
        emptyLines += 1
        return emptyLines > maximumEmptyLines ? HeadFault.EmptyLines : undefined
      }
      readStartLine(text)
      state = GuardState.Headers
      return (kind === MessageKind.Response ? statusLine : requestLine).test(text) ? undefined : HeadFault.StartLine
    },
    [GuardState.Headers]: text => {
      if (text === '') return endHead()
      return headerLine.test(text) ? readFraming(text) : HeadFault.HeaderLine
    },
    [GuardState.ChunkSize]: text => {
      const size = /^([0-9a-f]{1,12})[ \t]*(;.*)?$/i.exec(text)?.[1]
      if (size === undefined) return HeadFault.Chunk
      remaining = Number.parseInt(size, 16)
      state = remaining === 0 ? GuardState.Trailers : GuardState.ChunkData
      headBytes = 0
      return undefined
    },
    [GuardState.ChunkEnd]: text => {
      state = GuardState.ChunkSize
      headBytes = 0
      return text === '' ? undefined : HeadFault.Chunk
    },
    [GuardState.Trailers]: text => {
      if (text === '') return endMessage()
      return headerLine.test(text) ? undefined : HeadFault.HeaderLine
    }
  }

  /** Skips bytes of a body that have no lines. Returns the offset after them. */
  const skipBody = (from: number, end: number): number => {
    const count = Math.min(remaining, end - from)
    remaining -= count
    if (remaining > 0) return from + count
    if (state === GuardState.ChunkData) {
      state = GuardState.ChunkEnd
      line = ''
    } else endMessage()
    return from + count
  }

  /** Reads a head that has arrived completely. Returns the offset after it, a violation, or undefined if it must be read byte by byte. */
  const readWholeHead = (bytes: Buffer, from: number): number | HeadViolation | undefined => {
    const expression = kind === MessageKind.Response ? responseHead : requestHead
    const text = bytes.toString('latin1', from, Math.min(bytes.length, from + maximumHeadBytes))
    expression.lastIndex = 0
    if (!expression.test(text)) return undefined
    const length = expression.lastIndex
    readStartLine(text)
    const violations = [...text.slice(0, length).matchAll(framingLine)].flatMap(({ 0: match, index }) => {
      const fault = readFraming(match.slice(1))
      return fault === undefined ? [] : [{ offset: from + index + match.length + 1, fault }]
    })
    if (violations[0] !== undefined) return violations[0]
    const fault = endHead()
    return fault === undefined ? from + length : { offset: from + length - 1, fault }
  }

  /** Reads bytes up to the end of a line. Returns the offset after it, or a violation. */
  const readLine = (bytes: Buffer, from: number): number | HeadViolation => {
    const limit = state === GuardState.ChunkSize || state === GuardState.ChunkEnd ? maximumChunkLineBytes : maximumHeadBytes
    let offset = from
    for (; offset < bytes.length; offset += 1) {
      const byte = bytes[offset]
      headBytes += 1
      if (isAfterCarriageReturn !== (byte === lineFeed)) return { offset, fault: HeadFault.LineEnding }
      if (byte === 0) return { offset, fault: HeadFault.Nul }
      if (headBytes > limit) return { offset, fault: HeadFault.HeadSize }
      if (byte === lineFeed) {
        isAfterCarriageReturn = false
        const text = (line + bytes.toString('latin1', from, offset)).slice(0, -1)
        line = ''
        const fault = lineHandlers[state]?.(text)
        return fault === undefined ? offset + 1 : { offset, fault }
      }
      isAfterCarriageReturn = byte === carriageReturn
    }
    line += bytes.toString('latin1', from, offset)
    return offset
  }

  /** Checks bytes from an offset up to the end of a message or of the bytes. Returns the offset after them, or a violation. */
  const advance = (bytes: Buffer, from: number): number | HeadViolation => {
    const endedBefore = endedMessages
    const isDone = (): boolean => state === GuardState.Unchecked || endedMessages > endedBefore
    let offset = from
    while (offset < bytes.length && !isDone()) {
      const isAtHead = state === GuardState.StartLine && headBytes === 0
      const next = state === GuardState.LengthBody || state === GuardState.ChunkData
        ? skipBody(offset, bytes.length)
        : (isAtHead ? readWholeHead(bytes, offset) : undefined) ?? readLine(bytes, offset)
      if (typeof next !== 'number') return next
      offset = next
    }
    return state === GuardState.Unchecked ? bytes.length : offset
  }

  return {
    check: bytes => {
      let offset = 0
      while (offset < bytes.length) {
        const next = advance(bytes, offset)
        if (typeof next !== 'number') return next
        offset = next
      }
      return undefined
    },
    checkMessage: bytes => {
      const endedBefore = endedMessages
      const next = advance(bytes, 0)
      return typeof next !== 'number' || endedMessages > endedBefore ? next : undefined
    },
    isBetweenMessages: () => state === GuardState.StartLine && line === '',
    expectResponse: hasBody => {
      isBodyExpected = hasBody
      informationalHeads = 0
      isAfterCarriageReturn = false
      startHead()
    }
  }
}
