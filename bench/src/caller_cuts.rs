//! Callers that workers are cut off from, by the address from which they connect.

use std::{
    collections::HashMap,
    io,
    net::IpAddr,
    sync::{Arc, Mutex, PoisonError},
};

use tokio::net::TcpStream;

/// How the connections of a caller fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerCut {
    /// They stay open and carry nothing.
    Silent,
    /// They are reset.
    Reset,
    /// New ones are reset, open ones stay as they are.
    ResetNew,
}

/// The callers that are cut off; clones share them.
#[derive(Debug, Clone, Default)]
pub struct CallerCuts(Arc<Mutex<HashMap<IpAddr, CallerCut>>>);

impl CallerCuts {
    /// Cuts a caller off, or connects it again. What a silent connection should have carried is lost.
    pub fn set(&self, caller: IpAddr, cut: Option<CallerCut>) {
        let mut cuts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match cut {
            Some(cut) => cuts.insert(caller, cut),
            None => cuts.remove(&caller),
        };
    }

    fn get(&self, caller: IpAddr) -> Option<CallerCut> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).get(&caller).copied()
    }

    /// Returns whether a new connection is served, and otherwise lets it fail.
    pub async fn admit(&self, stream: &TcpStream) -> bool {
        let Ok(peer) = stream.peer_addr() else { return false };
        if self.get(peer.ip()) == Some(CallerCut::ResetNew) {
            // If the system refuses the option, the connection ends with a regular close.
            let _best_effort = stream.set_zero_linger();
            return false;
        }
        self.pass(stream).await.is_ok()
    }

    /// Returns if data of an open connection passes.
    ///
    /// # Errors
    ///
    /// If the connection is reset now.
    pub async fn pass(&self, stream: &TcpStream) -> io::Result<()> {
        match self.get(stream.peer_addr()?.ip()) {
            Some(CallerCut::Silent) => std::future::pending().await,
            Some(CallerCut::Reset) => {
                stream.set_zero_linger()?;
                Err(io::ErrorKind::ConnectionReset.into())
            }
            Some(CallerCut::ResetNew) | None => Ok(()),
        }
    }
}
