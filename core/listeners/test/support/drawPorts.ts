// Process that draws as many ports as its argument says, prints them, and ends with its standard input.
import { findFreePort } from '../../src/findFreePort.js'

const ports = await Promise.all(Array.from({ length: Number(process.argv[2]) }, findFreePort))
process.stdout.write(`${JSON.stringify(ports)}\n`)
process.stdin.resume()
