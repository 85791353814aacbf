//! Address blocks of clients: longest-prefix match from an address to a site.

use std::net::IpAddr;

use crate::id::SiteId;

/// Address prefix whose clients belong to one site.
///
/// Prefixes are kept in IPv6 form; IPv4 prefixes are mapped into `::ffff:0:0/96`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Block {
    /// First address of the block.
    pub first: u128,
    /// Length of the IPv6 prefix in bits, 0 to 128.
    pub bits: u8,
    /// Site that the block belongs to.
    pub site: SiteId,
}

impl Block {
    /// Creates a block from an address and a prefix length in bits, counted in
    /// the address's own family.
    pub fn new(address: IpAddr, prefix: u8, site: SiteId) -> Block {
        let bits = match address {
            IpAddr::V4(_) => prefix + 96,
            IpAddr::V6(_) => prefix,
        };
        let first = address_bits(address) & prefix_mask(bits);
        Block { first, bits, site }
    }

    /// Last address of the block.
    pub fn last(&self) -> u128 {
        self.first | !prefix_mask(self.bits)
    }
}

/// Converts an address to its IPv6 bits; IPv4 addresses are mapped into IPv6.
fn address_bits(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(v4) => v4.to_ipv6_mapped().to_bits(),
        IpAddr::V6(v6) => v6.to_bits(),
    }
}

/// Bit mask that keeps the first `bits` bits.
fn prefix_mask(bits: u8) -> u128 {
    match bits {
        0 => 0,
        bits => u128::MAX << (128 - bits),
    }
}

/// Marks an interval that belongs to no site.
const NO_SITE: u32 = u32::MAX;

/// Table of nested blocks, flattened into disjoint intervals so that a look-up
/// needs a single binary search.
#[derive(Clone, Debug, Default)]
pub struct BlockTable {
    /// Starts of the intervals, in ascending order.
    starts: Vec<u128>,
    /// Site of the interval with the same index, or [`NO_SITE`].
    sites: Vec<u32>,
}

impl BlockTable {
    /// Builds the table. Of two identical blocks, the one with the higher site
    /// index wins.
    pub fn new(mut blocks: Vec<Block>) -> BlockTable {
        blocks.sort_unstable_by_key(|b| (b.first, b.bits, b.site));
        let mut table = BlockTable::default();
        // Each block starts one interval and may start another one after its end.
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

    /// Site of the longest prefix that contains the address, or `None` if no
    /// block does.
    pub fn site(&self, address: IpAddr) -> Option<SiteId> {
        let bits = address_bits(address);
        let after = self.starts.partition_point(|&start| start <= bits);
        let site = *self.sites.get(after.checked_sub(1)?)?;
        (site != NO_SITE).then_some(SiteId(site))
    }

    /// Heap memory of the table, in bytes.
    pub fn heap_bytes(&self) -> usize {
        self.starts.capacity() * size_of::<u128>() + self.sites.capacity() * size_of::<u32>()
    }

    /// Closes the open blocks that end before `next`, or all of them if `next` is
    /// `None`.
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

    /// Appends an interval. Replaces the last one if both start at the same
    /// address, because that one is empty.
    fn push(&mut self, start: u128, site: u32) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.sites.pop();
        }
        self.starts.push(start);
        self.sites.push(site);
    }
}
