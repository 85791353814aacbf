//! Blocks of clients: longest-prefix match from an address to a site.

use std::net::IpAddr;

use crate::id::SiteId;

/// A block of clients: an address prefix, in IPv6 form.
///
/// IPv4 prefixes are mapped into `::ffff:0:0/96`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Block {
    /// The first address.
    pub first: u128,
    /// The length of the prefix, 0 to 128.
    pub bits: u8,
    /// The site that the block belongs to.
    pub site: SiteId,
}

impl Block {
    /// A block from an address and the prefix length of its own family.
    pub fn new(address: IpAddr, prefix: u8, site: SiteId) -> Block {
        let bits = match address {
            IpAddr::V4(_) => prefix + 96,
            IpAddr::V6(_) => prefix,
        };
        let first = key(address) & mask(bits);
        Block { first, bits, site }
    }

    /// The last address of the block.
    pub fn last(&self) -> u128 {
        self.first | !mask(self.bits)
    }
}

/// The address as a number, IPv4 mapped into IPv6.
fn key(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(v4) => v4.to_ipv6_mapped().to_bits(),
        IpAddr::V6(v6) => v6.to_bits(),
    }
}

/// The mask that keeps the first `bits` bits.
fn mask(bits: u8) -> u128 {
    match bits {
        0 => 0,
        bits => u128::MAX << (128 - bits),
    }
}

/// The value of an interval that belongs to no site.
const NO_SITE: u32 = u32::MAX;

/// Nested blocks flattened into disjoint intervals, for one binary search.
#[derive(Clone, Debug, Default)]
pub struct BlockTable {
    /// Interval starts, ascending.
    starts: Vec<u128>,
    /// The site of the interval at the same index.
    sites: Vec<u32>,
}

impl BlockTable {
    /// Flattens the blocks; of two equal blocks the later one counts.
    pub fn new(mut blocks: Vec<Block>) -> BlockTable {
        blocks.sort_unstable_by_key(|b| (b.first, b.bits, b.site));
        let mut table = BlockTable::default();
        // Each block begins one interval and may end in another one.
        table.starts.reserve(2 * blocks.len());
        table.sites.reserve(2 * blocks.len());
        let mut open: Vec<Block> = Vec::new();
        for block in blocks {
            table.close_before(&mut open, Some(block.first));
            table.push(block.first, block.site.0);
            open.push(block);
        }
        table.close_before(&mut open, None);
        table.starts.shrink_to_fit();
        table.sites.shrink_to_fit();
        table
    }

    /// The site whose longest prefix covers the address.
    pub fn site(&self, address: IpAddr) -> Option<SiteId> {
        let key = key(address);
        let after = self.starts.partition_point(|&start| start <= key);
        let site = *self.sites.get(after.checked_sub(1)?)?;
        (site != NO_SITE).then_some(SiteId(site))
    }

    /// Bytes that the table holds on the heap.
    pub fn heap_bytes(&self) -> usize {
        self.starts.capacity() * size_of::<u128>() + self.sites.capacity() * size_of::<u32>()
    }

    /// Ends the open blocks that lie before `next`, or all of them.
    fn close_before(&mut self, open: &mut Vec<Block>, next: Option<u128>) {
        while let Some(block) = open.last().copied() {
            if next.is_some_and(|first| first <= block.last()) {
                return;
            }
            open.pop();
            let Some(start) = block.last().checked_add(1) else {
                continue;
            };
            let site = open.last().map_or(NO_SITE, |outer| outer.site.0);
            self.push(start, site);
        }
    }

    /// Appends an interval, replacing an empty one at the same start.
    fn push(&mut self, start: u128, site: u32) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.sites.pop();
        }
        self.starts.push(start);
        self.sites.push(site);
    }
}
